"""Router node: HTTP servers, request forwarding and the resource API."""
