"""Error responses as ``application/problem+json``."""

import json

import falcon

from savoryhill.errors import SavoryhillError
from savoryhill.observability.logs import log_event

MEDIA_TYPE = "application/problem+json"


class RequestRejectedError(SavoryhillError):
    """A request is rejected before it reaches the core.

    Parameters
    ----------
    findings : list of str
        Reasons for the rejection, each with its location.
    status : int
        HTTP status of the response.
    """

    def __init__(self, findings, *, status=400):
        super().__init__("; ".join(findings))
        self.findings = findings
        self.status = status


def problem_document(*, status, detail, execution, **extra_fields):
    """Build the JSON document of an error response."""
    return {
        "type": "about:blank",
        "title": falcon.code_to_http_status(status).partition(" ")[2],
        "status": status,
        "detail": detail,
        "execution": execution,
        **extra_fields,
    }


def write_problem(
    resp, *, status, detail, execution="not_run", retry_after_s=0.0, **extra_fields
):
    """Write an error to a response."""
    resp.status = falcon.code_to_http_status(status)
    if retry_after_s:
        resp.set_header("Retry-After", str(max(1, round(retry_after_s))))
    document = problem_document(
        status=status, detail=detail, execution=execution, **extra_fields
    )
    resp.data = json.dumps(document).encode()
    resp.content_type = MEDIA_TYPE


def write_finish(resp, finish):
    """Write the error of a `FinishRequest` to a response."""
    write_problem(
        resp,
        status=finish.status,
        detail=finish.detail,
        execution=finish.execution,
        retry_after_s=finish.retry_after_s,
    )


def _on_rejected_request(req, resp, error, params):
    extra_fields = {"findings": error.findings} if len(error.findings) > 1 else {}
    if error.status == 503:
        extra_fields["retry_after_s"] = 1.0
    write_problem(resp, status=error.status, detail=str(error), **extra_fields)


def _on_http_error(req, resp, error, params):
    detail = error.description or error.title or "the request cannot be served"
    write_problem(resp, status=error.status_code, detail=detail)
    for name, value in (error.headers or {}).items():
        resp.set_header(name, value)


def _on_unexpected(req, resp, error, params):
    log_event("front.error", level="ERROR", path=req.path, detail=repr(error))
    write_problem(
        resp, status=500, detail="internal error of this node", execution="unknown"
    )


def add_problem_handlers(application):
    """Register handlers that send every error of an application as problem+json."""
    application.add_error_handler(Exception, _on_unexpected)
    application.add_error_handler(falcon.HTTPError, _on_http_error)
    application.add_error_handler(RequestRejectedError, _on_rejected_request)
