"""Messages by which entries follow the control processes."""
