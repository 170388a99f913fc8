"""Control plane: replicated state machine, configuration delivery, orders and version moves."""
