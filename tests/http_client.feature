Feature: The HTTP client sends each call once

  Scenario Outline: A lost <method> call to a backend of the proxied mode may have run
    Given a server that ends with the first call that it reads
    When the proxied mode sends a <method> call to it
    Then the verdict is that it may have run, and the server read 1 calls

    Examples: methods
      | method |
      | GET    |
      | PUT    |
      | POST   |

  # Guards against "not run" for a call that ran: the proxied mode took what came late for the next answer.
  Scenario: An earlier refusal that is written once more is not the answer to the next call
    Given a backend that writes an earlier refusal once more after each answer
    Then each of 3 calls gets its own answer

  Scenario: A write that took effect though its answer was lost is not reported as a conflict
    Given a key-value service that applies a write and loses its answer
    When a key is written on the condition that it is new
    Then the outcome is unknown, and the service read 1 calls

  # Guards against a head without its empty line that is taken for a whole answer without a body, and a reset for its end.
  Scenario Outline: The client for <peers> takes no answer that is cut in its head or its framed body, or reset in another
    Given a server that ends its answers early
    Then the client for <peers> gets no answer that is cut at any byte

    Examples: clients
      | peers                  |
      | backends               |
      | proxied backends       |
      | proxied peers          |
      | the platform           |

  # Guards against verdicts that depend on the client, or on where a packet of the answer ends.
  Scenario Outline: The client for <peers> takes no answer whose head is not sound
    Given a server that answers with raw bytes
    Then the client for <peers> takes no answer with a wrong <part>, wherever it is cut
    And it takes a sound one each time

    Examples: of the status line
      | peers            | part        |
      | backends         | status line |
      | proxied backends | status line |
      | proxied peers    | status line |
      | the platform     | status line |

    Examples: of a field
      | peers            | part         |
      | backends         | known name   |
      | backends         | other name   |
      | backends         | leading byte |
      | backends         | value        |
      | proxied backends | known name   |
      | proxied peers    | known name   |
      | the platform     | known name   |
      | the platform     | leading byte |

    Examples: of the framing
      | peers            | part    |
      | backends         | framing |
      | proxied backends | framing |
      | proxied peers    | framing |
      | the platform     | framing |

  # Guards against a short body that the proxied mode passes on as whole.
  Scenario: An answer without a length that is reset is not complete in the proxied mode
    Given a server that ends its answers early
    When the proxied mode calls it and the answer without a length is reset in its body
    Then it may have run each time
    When the proxied mode calls it and the answer without a length is closed after its body
    Then it has answered each time

  # Guards against interim answers without end, which stopped all other requests of the process.
  Scenario Outline: The client for <peers> ends a call whose interim answers do not end
    Given a server that sends "<what>" without end
    Then the client for <peers> ends a call with the error "more than 16 interim answers"

    Examples: servers
      | peers            | what            |
      | backends         | 100 Continue    |
      | backends         | 102 Processing  |
      | backends         | 103 Early Hints |
      | proxied backends | 100 Continue    |
      | proxied peers    | 100 Continue    |
      | the platform     | 100 Continue    |

  # Guards against a process that ends, or stops, as another one sends bytes without end.
  Scenario Outline: A call for <what> ends at its limit
    Given a server that sends "a <form> body" without end
    Then a call for <what> fails as the answer is longer than its limit

    Examples: calls
      | what                     | form    |
      | a report of an engine    | chunked |
      | a report of an engine    | plain   |
      | a report of an engine    | long    |
      | a staged chunk           | chunked |
      | a chunk of the origin    | plain   |
      | a manifest               | chunked |
      | a key of the store       | chunked |
      | a watch of the store     | plain   |
      | changes of a peer        | chunked |
      | an inventory of a peer   | plain   |
      | a control message        | chunked |
      | a proxied answer         | chunked |
      | a list of VMs            | plain   |
      | a key of the service     | long    |
      | the state of an engine   | plain   |
      | the status of a process  | chunked |

  # Guards against a part of a chunk or a report that is taken for the whole: these readers never looked for a reset.
  Scenario Outline: A call for <what> fails if its answer is broken
    Given a server that answers with raw bytes
    Then a call for <what> fails on each broken answer

    Examples: calls
      | what                     |
      | a report of an engine    |
      | a staged chunk           |
      | a chunk of the origin    |
      | a manifest               |
      | a key of the store       |
      | a watch of the store     |
      | a renewal of a lease     |
      | changes of a peer        |
      | an inventory of a peer   |
      | a chunk of a peer        |
      | a control message        |
      | a proxied answer         |
      | a list of VMs            |
      | a key of the service     |
      | the state of an engine   |
      | the status of a process  |
      | an order to load         |
      | a fleet by verbenactl    |
      | a drain by verbenactl    |

  # Guards against an outcome that says that no connection was made.
  Scenario Outline: A write to <store> whose answer is broken may have happened
    Given a server that answers with raw bytes
    Then a write to <store> has an unknown outcome after each broken answer

    Examples: stores
      | store       |
      | the store   |
      | the service |

  # Guards against a body that is cut to the length that its head announces; bytes that come later can't change a whole answer.
  Scenario Outline: The client for <peers> takes no answer with bytes that are too many, if they come at once
    Given a server that answers with raw bytes
    Then the client for <peers> takes no answer with more bytes than its head announces, at once

    Examples: clients
      | peers            |
      | backends         |
      | proxied backends |
      | proxied peers    |
      | the platform     |

  # Guards against a client that is added later, or that was left out.
  Scenario: Each HTTP client of the product reads answers by the same rule
    Then each session in the package has the connector that reads by the rule

  # Guards against a rule that refuses what RFC 9110 and RFC 9112 allow.
  Scenario Outline: The client for <peers> takes sound answers in odd forms, wherever they are cut
    Given a server that answers with raw bytes
    Then the client for <peers> takes each odd but sound answer, wherever it is cut

    Examples: clients
      | peers            |
      | backends         |
      | proxied backends |
      | proxied peers    |
      | the platform     |

  # Guards against an answer that nobody asked for, taken for that of the next call, its head unjudged.
  Scenario Outline: What comes behind a whole answer is no answer to the next call for <peers>
    Given a server that answers with raw bytes
    Then no call for <peers> gets what came behind the answer to the one before

    Examples: clients that keep connections
      | peers         |
      | proxied peers |
      | the platform  |

  # Guards against a rule of answers that ends what is no answer any more: reports of peers come over WebSockets.
  Scenario: A WebSocket, for which a call asks, is opened and read
    Given a server that sends reports over a WebSocket
    Then the client for proxied peers reads each report and the end of the channel

  # No other call of ours asks for another protocol.
  Scenario Outline: The client for <peers> takes no answer that switches protocols unasked
    Given a server that answers with raw bytes
    Then the client for <peers> takes no answer with a wrong protocol, wherever it is cut

    Examples: clients
      | peers            |
      | backends         |
      | proxied backends |
      | proxied peers    |
      | the platform     |
