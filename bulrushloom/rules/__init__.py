"""Rules file of the operators: parser, differences and stored form."""
