"""Runs the command line as `python -m tarragoncleat`."""

from tarragoncleat.administration import cli

cli.main()
