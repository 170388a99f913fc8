"""The daemon: composition root, HTTP server and the parts that run decision classes."""
