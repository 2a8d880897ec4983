"""Experiments with a whole deployment of azureladder on loopback addresses."""
