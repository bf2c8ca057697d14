"""Remote calls between the processes of the system, over gRPC."""
