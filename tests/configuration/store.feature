Feature: Accepted configuration

  Scenario: Racing operators and lost answers never lose or fork an accepted change
    Then in random races every accepted change is in one chain, and only those

  Scenario: Applying the same manifest twice changes nothing
    Given an empty key-value service
    When the same manifest is applied twice
    Then the second apply is unchanged and one revision exists

  Scenario: A change begun by a pipeline that died is visible and can be dropped
    Given an empty key-value service
    When a pipeline dies after it has recorded its change
    Then the change is listed as unfinished
    And it is no longer listed after it was dropped

  Scenario: The revision in force never falls
    Given an empty key-value service
    When three revisions are accepted and offered in any order, with gaps and older heads
    Then the revision in force of a process never falls

  Scenario: A contradiction at the same revision is refused
    When a process is offered another document with the revision in force
    Then it keeps its own and counts the refusal
