Feature: Which connections a process accepts, refuses and closes
  The module runs without a network.

  Scenario: Room for a connection is made by those that are idle longest
    Guards against refusals while connections are idle, and closing one whose request is on its way.
    Given a table for 40 descriptors
    When 30 connections open at 0 s, after 10 of them had requests one by one
    Then at 0.3 s another one is refused, and the process is full until 1.3 s
    And at 1.4 s another one is accepted, the one closed for it had no request
    When all have requests at 1.5 s, then half of them are refused
    Then a process that got no descriptor for a send closes idle connections

  Scenario: Connections are closed when their time ends, but not after a stall
    Guards against a request that arrived during a stall and is reset unread.
    Given a table for 40 descriptors
    When an idle connection and one with half a header are swept at 14.9, 17.5 and 17.6 s
    Then the connections were closed at 17.6 s

  Scenario: Other processes take half of the descriptors, and some of the reserve beside callers
    Guards against a crowd at an internal address that leaves callers no descriptor.
    Given a table for 40 descriptors
    When 20 processes keep requests open
    Then 15 of them are accepted, and 7 callers with requests
    And beside 15 callers with requests 5 processes are accepted

  Scenario: For want of memory the oldest unfinished head is closed first, a running request never
    Guards against limits on each connection that do not add up to a limit on all.
    Given a table with memory for 100 KB in connections
    When connections hold 20 KB each: a running request, an unread answer, a waiting one and heads
    Then a larger one closes the older head, the younger, the waiting one and the unread answer
    And what is left is counted

  Scenario: No sequence of events takes more descriptors than there are
    Guards against connections that are counted twice or for ever.
    When connections open, send, end and are swept in any order, the limits hold

  Scenario: A limit on callers that is no time is an error that names its field
    Guards against a process that closes all connections at once.
    When configurations limit the idle time to -1, "15" and true, none can be read for that field
