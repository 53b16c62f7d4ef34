"""WSGI application for callers: health, models, completions and services."""

from hashlib import sha256

import falcon

from savoryhill.httpapp import make_resource
from savoryhill.node.completions import on_chat_completion, on_completion
from savoryhill.node.problems import add_problem_handlers, write_problem
from savoryhill.node.service_calls import on_service

_SERVICE_METHODS = ("get", "post", "put", "patch", "delete")


def front_application(node):
    """Build the WSGI application that serves callers."""
    application = falcon.App()
    add_problem_handlers(application)
    add = application.add_route
    add("/healthz", make_resource(node, get=_on_health))
    add("/readyz", make_resource(node, get=_on_ready))
    add("/v1/models", make_resource(node, get=_authenticated(_on_models)))
    add("/v1/models/{name}", make_resource(node, get=_authenticated(_on_model)))
    completion = _authenticated(on_completion)
    add("/v1/completions", make_resource(node, post=completion))
    chat_completion = _authenticated(on_chat_completion)
    add("/v1/chat/completions", make_resource(node, post=chat_completion))
    service = dict.fromkeys(_SERVICE_METHODS, _authenticated(on_service))
    add("/services/{name}/{path:path}", make_resource(node, **service))
    return application


def _on_health(node, req, resp):
    resp.media = {"status": "ok"}


def unready_reason(state):
    """Return why a node should receive no requests, None if it is ready."""
    if state.draining:
        return "draining"
    if state.active is None:
        return "no configuration"
    if state.configuration.isolated:
        return "isolated"
    return None


def _on_ready(node, req, resp):
    reason = unready_reason(node.runtime.state)
    resp.status = falcon.HTTP_200 if reason is None else falcon.HTTP_503
    resp.media = {"ready": reason is None, "reason": reason or ""}


def _authenticated(handler):
    """Wrap a handler: authenticate the caller and pass it the workspace."""

    def handle(node, req, resp, **params):
        if node.runtime.state.active is None:
            write_problem(
                resp,
                status=503,
                detail="this node has no configuration yet",
                retry_after_s=1.0,
            )
            return
        handler(node, req, resp, workspace_of(node, req), **params)

    return handle


def workspace_of(node, req):
    """Return the workspace that a request's bearer key belongs to.

    The lookup is by the SHA-256 digest of the key. A caller cannot choose the digest,
    so the time that the lookup takes does not leak the stored keys.

    Raises
    ------
    falcon.HTTPUnauthorized
        If the key is missing or unknown.
    """
    scheme, _, key = (req.auth or "").partition(" ")
    digest = sha256(key.strip().encode("latin-1", "replace")).hexdigest()
    workspaces_by_key_hash = node.runtime.state.active.workspace_names_by_key_hash
    workspace = workspaces_by_key_hash.get(digest)
    if scheme.lower() != "bearer" or not key.strip() or workspace is None:
        raise falcon.HTTPUnauthorized(
            description="missing or unknown bearer key", challenges=["Bearer"]
        )
    return workspace


def _model_document(model):
    return {"id": model.name, "object": "model", "created": 0, "owned_by": "savoryhill"}


def _on_models(node, req, resp, workspace):
    models = node.runtime.state.active.models
    resp.media = {
        "object": "list",
        "data": [_model_document(model) for model in models],
    }


def _on_model(node, req, resp, workspace, name):
    for model in node.runtime.state.active.models:
        if model.name == name:
            resp.media = _model_document(model)
            return
    raise falcon.HTTPNotFound(description=f"no model is named {name[:80]!r}")
