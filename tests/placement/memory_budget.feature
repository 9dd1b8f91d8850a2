Feature: Bytes that a process holds for callers and backends
  The module runs without a network.

  Scenario: Bodies are refused before memory runs out, and admitted again later
    Guards against a process that takes bodies until it is killed, or refuses for ever.
    Given a process that may hold 1000000 bytes
    When requests hold bodies of 700000 bytes
    Then a body of 20000 bytes is admitted and one of 40000 bytes is refused with a Retry-After
    And an answer of 300000 bytes still fits, and one of 300001 bytes ends as one that may have run
    When the requests have ended, a body of 40000 bytes is admitted and nothing is held

  Scenario: Without a limit nothing is refused or counted
    Guards against a change for deployments that set no limit.
    Given a process that may hold 0 bytes
    When requests hold bodies of 700000000 bytes
    Then a body of 40000 bytes is admitted and nothing is held
