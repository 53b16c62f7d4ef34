"""Commands of ``savoryhill questionnaire``.

Exit codes: 0 success, 1 findings or a conflict, 2 invalid usage, or the key-value
service or a node did not respond.
"""

import getpass
import json
import time
import uuid
from dataclasses import asdict
from pathlib import Path

import yaml

from savoryhill.cli.commands import (
    EXIT_FAILED,
    EXIT_USAGE,
    check_output,
    deferred,
    print_result,
)
from savoryhill.config.answer_text import plain_answers
from savoryhill.config.apply import apply_answers
from savoryhill.config.conflicts import ConflictError
from savoryhill.config.findings import QuestionnaireError, findings_to_dicts
from savoryhill.config.merge import compare_answers
from savoryhill.config.questionnaire import load_questionnaire
from savoryhill.config.store import (
    list_revisions,
    make_store,
    read_current,
    read_revision,
)
from savoryhill.errors import PlatformError, SettingsError

SAMPLES = Path(__file__).parent.parent / "config" / "samples"


def _deferred_command(command, output):
    """Return a deferred command that prints its result and returns an exit code.

    Findings, conflicts and unavailable systems become results with an exit code.
    """
    check_output(output)

    def start():
        try:
            result, lines, code = command()
        except QuestionnaireError as error:
            result = {"findings": findings_to_dicts(error.findings)}
            lines, code = [*map(str, error.findings)], EXIT_FAILED
        except ConflictError as error:
            conflicts = [asdict(conflict) for conflict in error.conflicts]
            result = {"conflict": str(error), "conflicts": conflicts}
            lines, code = [f"conflict: {error}"], EXIT_FAILED
        except (PlatformError, OSError) as error:
            result, lines, code = {"error": str(error)}, [str(error)], EXIT_USAGE
        print_result(result, output, lines)
        return code

    return deferred(start)


def _load_settings(path):
    """Load the settings that the commands need.

    A node's settings file contains them too and can be used here.
    """
    if path is None:
        raise SettingsError("--settings FILE is needed to reach the deployment")
    try:
        values = yaml.safe_load(Path(path).read_text())
    except (OSError, yaml.YAMLError) as error:
        raise SettingsError(f"cannot read settings from {path}: {error}") from error
    needed = ("key_value", "hosts", "cluster_key")
    settings = values if isinstance(values, dict) else {}
    missing = [name for name in needed if not isinstance(settings.get(name), str)]
    if missing:
        raise SettingsError(f"{path}: missing settings {', '.join(missing)}")
    return settings


def _read_text(file):
    return Path(str(file)).read_text()


def _format_value(value):
    return "-" if value is None else json.dumps(value, default=str)


def _format_changes(changes):
    return [
        f"{'.'.join(change.path)}: "
        f"{_format_value(change.before)} -> {_format_value(change.after)}"
        for change in changes
    ]


def new(file, *, deployment="retail", output="text"):
    """Write a commented sample questionnaire to start from.

    Parameters
    ----------
    file : str
        Path to write to; an existing file is not overwritten.
    deployment : str
        ``retail`` or ``licensing``.
    output : str
        ``text`` or ``json``.
    """
    samples = {path.stem: path for path in SAMPLES.glob("*.yaml")}
    if deployment not in samples:
        known = ", ".join(sorted(samples))
        raise SettingsError(f"no sample {deployment!r}; available are {known}")

    def run():
        with open(str(file), "x") as target:
            target.write(samples[deployment].read_text())
        line = f"wrote {file}; change the answers, then run: questionnaire check {file}"
        return {"written": str(file)}, [line], 0

    return _deferred_command(run, output)


def check(file, *, output="text"):
    """Check answers without contacting the deployment and print all findings.

    Parameters
    ----------
    file : str
        The questionnaire.
    output : str
        ``text`` or ``json``.
    """

    def run():
        load_questionnaire(_read_text(file), place=str(file))
        return {"findings": []}, [f"{file}: no findings"], 0

    return _deferred_command(run, output)


def diff(file, *, settings=None, output="text"):
    """Show how the answers differ from the accepted revision.

    Parameters
    ----------
    file : str
        The questionnaire.
    settings : str
        YAML file with key_value, hosts and cluster_key.
    output : str
        ``text`` or ``json``.
    """

    def run():
        text = _read_text(file)
        answers = load_questionnaire(text, place=str(file))
        current = read_current(make_store(_load_settings(settings)["key_value"]))
        accepted = plain_answers(current.answers) if current is not None else {}
        revision = current.record.revision if current is not None else 0
        changes = tuple(compare_answers(accepted, plain_answers(text)))
        result = {
            "revision": revision,
            "taken_from": answers.taken_from,
            "changes": [asdict(change) for change in changes],
        }
        lines = _format_changes(changes) or [f"no difference from revision {revision}"]
        if answers.taken_from != revision:
            lines.append(
                f"the file was taken from revision {answers.taken_from}, and revision "
                f"{revision} is accepted: apply merges both"
            )
        return result, lines, 0

    return _deferred_command(run, output)


def apply(
    file=None,
    *,
    settings=None,
    author=None,
    note="",
    content_of=None,
    above=0,
    timeout_s=10.0,
    output="text",
):
    """Apply answers, push them to the nodes and wait until they are in force.

    Parameters
    ----------
    file : str
        The questionnaire, which names the revision it was taken from.
    settings : str
        YAML file with key_value, hosts and cluster_key.
    author : str
        Who applies the answers; the user's login name if not given.
    note : str
        Reason for the change, for the history.
    content_of : int
        Apply the answers of this earlier revision again instead of a file.
    above : int
        Make the new revision higher than this one. Needed if the key-value service
        was restored and nodes hold a higher revision than it does.
    timeout_s : float
        How long to wait for the nodes to confirm the revision.
    output : str
        ``text`` or ``json``.
    """

    def run():
        deployment_settings = _load_settings(settings)
        store = make_store(deployment_settings["key_value"])
        text, place, taken_from = _select_answers(store, file, content_of)
        accepted = apply_answers(
            store,
            text,
            place=place,
            author=str(author or getpass.getuser()),
            attempt=uuid.uuid4().hex,
            note=str(note),
            taken_from=taken_from,
            above=int(above),
            now_s=time.time(),
        )
        return _push(accepted, deployment_settings, store, float(timeout_s))

    return _deferred_command(run, output)


def _select_answers(store, file, content_of):
    if (file is None) == (content_of is None):
        raise SettingsError("give either a file or --content_of REVISION")
    if file is not None:
        return _read_text(file), str(file), None
    earlier, current = read_revision(store, int(content_of)), read_current(store)
    if earlier is None:
        raise ConflictError(f"revision {content_of} is not in the history")
    return earlier.answers, f"revision {content_of}", current.record.revision


def _push(accepted, deployment_settings, store, timeout_s):
    # Imported here because the other commands do not connect to nodes.
    from savoryhill.config.push import push_until_in_force

    result = {
        "revision": accepted.revision,
        "accepted": True,
        "changed": accepted.changed,
        "merged_with": list(accepted.merged_with),
        "changes": [asdict(change) for change in accepted.changes],
    }
    lines = _format_changes(accepted.changes)
    acceptance = "accepted" if accepted.changed else "already accepted"
    lines.append(f"revision {accepted.revision} is {acceptance}")
    if accepted.merged_with:
        merged_revisions = ", ".join(map(str, accepted.merged_with))
        lines.append(f"merged with the changes of revisions {merged_revisions}")
    try:
        report = push_until_in_force(
            revision=accepted.revision,
            content=accepted.configuration,
            hosts=deployment_settings["hosts"],
            cluster_key=deployment_settings["cluster_key"],
            timeout_s=timeout_s,
            listen_ip=deployment_settings.get("listen_ip"),
        )
    except PlatformError as error:
        result["error"] = str(error)
        lines.append(f"the nodes are not known: {error}")
        return result, lines, EXIT_USAGE
    result["in_force_s_by_node"] = report.in_force_s_by_node
    result["not_confirmed"] = list(report.not_confirmed)
    lines += [
        f"in force on {node} after {seconds:.2f} s"
        for node, seconds in sorted(report.in_force_s_by_node.items())
    ]
    lines += [
        f"NOT confirmed by {node} within {timeout_s:g} s"
        for node in report.not_confirmed
    ]
    if _is_store_behind_nodes(store, accepted, report):
        lines.append(
            f"nodes hold revision {report.highest_revision}, so revision "
            f"{accepted.revision} is NOT in force: the service has lost changes. "
            f"Apply again with "
            f"--above {report.highest_revision}"
        )
        result["in_force_s_by_node"] = {}
        result["above"] = report.highest_revision
        return result, lines, EXIT_FAILED
    return result, lines, EXIT_USAGE if report.not_confirmed else 0


def _is_store_behind_nodes(store, accepted, report):
    """Tell whether nodes hold a higher revision than the key-value service.

    False if the service cannot be reached.
    """
    if report.highest_revision <= accepted.revision:
        return False
    try:
        return read_current(store).record.revision < report.highest_revision
    except PlatformError:
        return False


def show(*, settings=None, revision=None, generated=False, output="text"):
    """Print the answers of the accepted or of an earlier revision.

    Parameters
    ----------
    settings : str
        YAML file with key_value, hosts and cluster_key.
    revision : int
        An earlier revision to print instead of the accepted one.
    generated : bool
        Print the generated configuration instead of the answers.
    output : str
        ``text`` or ``json``.
    """

    def run():
        store = make_store(_load_settings(settings)["key_value"])
        stored_revision = (
            read_current(store)
            if revision is None
            else read_revision(store, int(revision))
        )
        if stored_revision is None:
            raise ConflictError(f"revision {revision or 'accepted'} does not exist")
        configuration = json.loads(stored_revision.configuration)
        result = {
            "revision": stored_revision.record.revision,
            "author": stored_revision.record.author,
            "answers": stored_revision.answers,
            "configuration": configuration,
        }
        text = (
            json.dumps(configuration, indent=2)
            if generated
            else stored_revision.answers
        )
        return result, [text.rstrip("\n")], 0

    return _deferred_command(run, output)


def history(*, settings=None, last=20, output="text"):
    """List the last revisions with author, time and note.

    Parameters
    ----------
    settings : str
        YAML file with key_value, hosts and cluster_key.
    last : int
        Number of revisions.
    output : str
        ``text`` or ``json``.
    """

    def run():
        store = make_store(_load_settings(settings)["key_value"])
        records = list_revisions(store, n_last=int(last))
        rows = [
            {
                "revision": record.revision,
                "author": record.author,
                "applied_at_s": record.applied_at_s,
                "taken_from": record.taken_from,
                "digest": record.digest,
                "note": record.note,
            }
            for record in records
        ]
        lines = [
            f"{row['revision']:>6}  {_format_time(row['applied_at_s'])}  "
            f"{row['author']:<16} {row['note']}"
            for row in rows
        ]
        return {"revisions": rows}, lines or ["no revision yet"], 0

    return _deferred_command(run, output)


def _format_time(seconds):
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(seconds))


COMMANDS = {
    "new": new,
    "check": check,
    "diff": diff,
    "apply": apply,
    "show": show,
    "history": history,
}
