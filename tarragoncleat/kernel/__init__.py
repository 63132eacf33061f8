"""What every part uses: ids, errors, settings, time, messages and logs."""
