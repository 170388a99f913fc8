"""Request scheduler for unlike engines."""

__version__ = "0.1.0"

__all__ = ["__version__"]
