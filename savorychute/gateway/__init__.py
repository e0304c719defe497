"""A gateway: an instance whose routes an operator publishes as one document.

:class:`savorychute.instance.Instance` derives everything from contracts and agrees on
the use of endpoints with its peers.  A gateway instead reads routes, services and
organisations from a document in the platform's store.  It decides each request from
its own observations and from reports of its peers.  The parts of a gateway do no I/O;
the package ``daemon`` connects them to sockets.
"""
