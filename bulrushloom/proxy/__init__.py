"""Session proxy: client sessions on pooled server connections."""
