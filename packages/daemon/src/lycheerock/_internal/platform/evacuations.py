"""Kind of the objects by which operators evacuate availability zones.

Each object is named after the zone to which no requests may be sent while the
object exists. Its content says nothing more.
"""

OBJECT_KIND = "evacuations"
