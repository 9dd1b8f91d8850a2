Feature: A process sends few bodies at a time over a narrow link

  # Guards against a queue before a narrow link, in which requests to engines and short answers wait.
  Scenario: The bytes under way follow the rate of the link
    When bodies for any receivers wait, and the link carries any rate
    Then no more than 0.1 s of the link or 32 KiB are under way, and 16 KiB to one receiver
    And a link that was never busy is not taken for a narrow one

  Scenario: The full rate returns once a link that was narrow has it again
    When a link carries a quarter of its rate for 3 s and then all of it
    Then at least 9 in 10 of what it can carry are sent in both, with at most 0.1 s under way

  # Guards against engines that are all loaded as late as the last one, and work that never ends.
  Scenario: The engine that lacks least gets its chunks first
    When bodies for any receivers wait, and the link carries any rate
    Then one that has begun goes first, then engines, and among them the one that lacks least
    And bodies for others begin only if those that wait take less than 0.25 s

  # Guards against bodies for other regions that take the link between two chunks of an engine.
  Scenario: Over a narrow link other regions wait in the pauses of an engine that is being loaded
    When a body for another region waits at a narrow link, and an engine got one 1.1 s ago
    Then it does not begin, but 2.5 s after the engine got one it does
