"""Commands that run one stand-in of what lies outside savoryhill."""

import json
import signal
import sys

from fire.decorators import SetParseFn

from savoryhill.cli.commands import EXIT_OK, deferred
from savoryhill.errors import SettingsError


@SetParseFn(str)
def platform(settings):
    """Run the stand-in of the platform: key-value service and host list.

    Prints its address as one line of JSON and runs until SIGTERM.

    Parameters
    ----------
    settings : str
        YAML with ``listen`` and ``hosts``, a list of node, address, zone, state
        and admin.
    """
    return deferred(lambda: _run(_platform, settings))


@SetParseFn(str)
def engine(settings):
    """Run the stand-in of a model engine.

    Prints its address as one line of JSON and runs until SIGTERM.

    Parameters
    ----------
    settings : str
        YAML with ``listen``, ``id``, ``model``, ``prefill_tokens_per_s``,
        ``decode_tokens_per_s``, ``memory_tokens``, ``slots`` and, for what its
        faults draw, ``seed``.
    """
    return deferred(lambda: _run(_engine, settings))


@SetParseFn(str)
def service(settings):
    """Run the stand-in of a plain service.

    Prints its address as one line of JSON and runs until SIGTERM.

    Parameters
    ----------
    settings : str
        YAML with ``listen``, ``id`` and ``delay_s``.
    """
    return deferred(lambda: _run(_service, settings))


STANDINS = {"platform": platform, "engine": engine, "service": service}


def _take(values, path, *required):
    missing = [name for name in ("listen", *required) if values.get(name) is None]
    if missing:
        raise SettingsError(f"{path}: missing setting {', '.join(missing)}")
    del values["listen"]


def _platform(values, path):
    from savoryhill.standins.platform import PlatformState, platform_application

    _take(values, path)
    hosts = {host["node"]: host for host in values.pop("hosts", ())}
    return platform_application(PlatformState(hosts_by_node=hosts, **values))


def _engine(values, path):
    import time
    from random import Random

    import gevent

    from savoryhill.standins.engine import EngineState, engine_application, run_engine

    _take(values, path, "id", "model", "memory_tokens", "slots")
    random = Random(values.pop("seed", 0))
    state = EngineState(clock=time.monotonic, random=random, **values)
    gevent.spawn(run_engine, state)
    return engine_application(state)


def _service(values, path):
    from savoryhill.standins.service import ServiceState, service_application

    _take(values, path, "id")
    return service_application(ServiceState(**values))


def _run(build, path):
    import gevent
    from gevent.event import Event

    from savoryhill.httpapp import serve
    from savoryhill.node.settings import load_mapping

    values = load_mapping(path)
    listen = values.pop("listen", None)
    try:
        application = build({"listen": listen, **values}, path)
    except TypeError as error:
        raise SettingsError(f"{path}: {error}") from error
    server, address = serve(application, listen)
    sys.stdout.write(json.dumps({"listening": address}) + "\n")
    sys.stdout.flush()
    ended = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    ended.wait()
    server.stop(timeout=0.2)
    return EXIT_OK
