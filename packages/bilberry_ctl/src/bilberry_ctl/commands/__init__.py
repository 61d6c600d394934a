"""Subcommands of bilberryctl."""
