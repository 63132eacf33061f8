"""Runs the command line as `python -m tarragoncleat`."""

from tarragoncleat import cli

cli.main()
