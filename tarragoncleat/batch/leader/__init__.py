"""What a leader runs, and how requests reach it."""
