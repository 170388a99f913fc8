"""Request scheduler for pools of heterogeneous endpoints."""

__version__ = "0.1.0"

__all__ = ["__version__"]
