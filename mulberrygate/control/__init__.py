"""Control: state machine on the replicated log, delivery of configuration, orders and moves."""
