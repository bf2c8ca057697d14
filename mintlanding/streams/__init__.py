"""Where streams began, so that they are resumed only where they fit."""
