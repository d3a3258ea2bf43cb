"""Commands of the programs, one module each."""
