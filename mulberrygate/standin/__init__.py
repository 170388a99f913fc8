"""Stand-ins for endpoints: a model engine and a plain service, for demos and tests."""
