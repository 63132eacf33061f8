"""Identifier types."""

from typing import NewType

__all__ = [
    "AvailabilityZone",
    "CommandId",
    "EntryId",
    "FirmId",
    "InstanceId",
    "JobId",
    "PoolId",
    "ProfileId",
    "Rack",
    "RequestId",
    "Revision",
    "ServiceId",
    "TeamId",
    "UpstreamId",
    "WaveId",
]

AvailabilityZone = NewType("AvailabilityZone", str)
CommandId = NewType("CommandId", str)
EntryId = NewType("EntryId", str)
FirmId = NewType("FirmId", str)
InstanceId = NewType("InstanceId", str)
JobId = NewType("JobId", str)
PoolId = NewType("PoolId", str)
ProfileId = NewType("ProfileId", str)
Rack = NewType("Rack", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceId = NewType("ServiceId", str)
TeamId = NewType("TeamId", str)
UpstreamId = NewType("UpstreamId", str)
WaveId = NewType("WaveId", str)
