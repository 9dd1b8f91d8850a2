Feature: An entry process tells where a chunk can be fetched

  # Guards against RECOVER too late: questions that waited took the processor of the process 20 times a second.
  Scenario: Questions for chunks that nobody has take no time of the process
    When 48 questions wait for 1 second for chunks that nobody has
    Then each has looked for another reader once

  Scenario: A question is answered once another reader of the zone is found to hold the chunk
    When 3 questions wait, and another reader of the zone is found to hold chunk 1
    Then the question for chunk 1 alone is answered, and names that reader

  Scenario: A question names no reader of another zone
    When 3 questions wait, and a reader of another zone is found to hold chunk 1
    Then no question is answered

  Scenario: What another process newly holds is passed on once
    When a reader finds chunks 1 and 2 at another reader, then chunks 1, 2 and 3, and all at an endpoint process
    Then it tells of chunks 1 and 2, then of chunk 3, and of nothing else
