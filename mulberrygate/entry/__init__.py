"""The entry: filter chain from a caller to an endpoint and back."""
