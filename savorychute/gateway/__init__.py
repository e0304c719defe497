"""An entry instance whose routes an operator publishes as one document.

Where :class:`savorychute.instance.Instance` derives everything from contracts and
agrees on the use of endpoints with its peers, a gateway takes routes, services and
organisations from a document in the platform's store, and decides each request by
what it sees itself and what its peers tell it.  Its parts do no I/O; the package
``daemon`` beside them drives them with sockets.
"""
