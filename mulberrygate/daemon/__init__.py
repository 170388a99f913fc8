"""The daemon: composition root, HTTP server and components that run decision classes."""
