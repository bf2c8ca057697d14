"""A demo fleet of processes on the loopback interface."""
