"""Configuration of lycheectl from a file and the environment."""

from collections.abc import Mapping
import pathlib
from typing import Annotated
from typing import Any

import pydantic
from pydantic import dataclasses

from lycheerock_model import bundle as bundle_lib
from lycheerock_model import documents
from lycheerock_model import exceptions
from lycheerock_model import json_text
from lycheerock_model import settings as settings_lib

CONFIG_VARIABLE = "LYCHEECTL_CONFIG"
INSTANCES_VARIABLE = "LYCHEECTL_INSTANCES"
TOKEN_VARIABLE = "LYCHEECTL_TOKEN"
OPERATOR_VARIABLE = "LYCHEECTL_OPERATOR"
CONFIG_DEFAULT = "lycheectl.json"


@dataclasses.dataclass(frozen=True, config=documents.STRICT)
class Config:
    """Configuration of lycheectl.

    Attributes:
      instances: Operator address (IP address and port) by instance id.
      token: Operator token of the instances.
      operator: Name of the operator who runs the command.
    """

    instances: Annotated[
        dict[bundle_lib.Name, bundle_lib.Address], pydantic.Field(min_length=1)
    ]
    token: settings_lib.Secret
    operator: bundle_lib.Name


def load(environment: Mapping[str, str]) -> Config:
    """Reads the configuration file and the environment.

    Environment variables take precedence over keys of the file.

    Args:
      environment: Environment variables.

    Returns:
      The configuration.

    Raises:
      DocumentError: The file cannot be read, or the configuration is invalid;
        lists every fault.
    """
    document = _read_file(environment)
    instances = environment.get(INSTANCES_VARIABLE)
    if instances is not None:
        document["instances"] = _parse_instances(instances)
    for key, variable in (
        ("token", TOKEN_VARIABLE),
        ("operator", OPERATOR_VARIABLE),
    ):
        if variable in environment:
            document[key] = environment[variable]
    config, faults = documents.check(Config, document)
    if config is None:
        raise exceptions.DocumentError("lycheectl configuration", faults)
    return config


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    configured_path = environment.get(CONFIG_VARIABLE)
    path = pathlib.Path(configured_path or CONFIG_DEFAULT)
    if configured_path is None and not path.exists():
        return {}
    try:
        text = path.read_bytes()
    except OSError as error:
        fault = exceptions.Fault(
            CONFIG_VARIABLE, str(error), "set it to the path of a readable file"
        )
        raise exceptions.DocumentError(str(path), (fault,)) from error
    document = json_text.parse_json(str(path), text)
    if not isinstance(document, dict):
        fault = exceptions.Fault(
            "(document)", "not an object", "write a JSON object"
        )
        raise exceptions.DocumentError(str(path), (fault,))
    return document


def _parse_instances(text: str) -> dict[str, str]:
    """Parses addresses by instance id.

    An example is `i0=127.0.0.1:9002,i1=127.0.0.1:9005`; spaces around each
    pair are ignored.
    """
    pairs = [part.strip().partition("=") for part in text.split(",")]
    return {instance_id: address for instance_id, _, address in pairs}
