"""Entry: the filter chain that takes a request from its caller to an endpoint and back."""
