"""Keep requests that crash engines away from them, by parts of the prompt."""
