"""Helper that calls the admin application without a socket."""

import io
import json


class AdminCaller:
    def __init__(self, app):
        self.app = app

    def __call__(self, method, path, body=None, **environ):
        data = b"" if body is None else json.dumps(body).encode()
        path, _, query = path.partition("?")
        response = self.app.answer(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "QUERY_STRING": query,
                "wsgi.input": io.BytesIO(data),
                **environ,
            }
        )
        return response.status, json.loads(response.body)

    def put(self, kind, name, version, spec, **environ):
        body = {"metadata": {"name": name, "version": version}, "spec": spec}
        return self("PUT", f"/api/v1/{kind}/{name}", body, **environ)


REGION = {"failure_domains": ["mtl-a", "mtl-b"]}
