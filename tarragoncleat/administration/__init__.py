"""Administration: the command line, the API and reports."""
