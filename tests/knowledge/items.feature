Feature: Items of the store in the order of their revisions

  Scenario: Nothing goes backwards, whoever tells it in whichever order
    When histories of the store are told in any order, late, twice and in part
    Then each key has the newest item that was told

  Scenario: Two processes that hand on to each other know the same
    When two processes hear different parts and hand on to each other
    Then both know everything up to the higher revision

  Scenario: A complete reading ends the keys that it lacks, but nothing newer
    When a complete reading comes late
    Then keys that were removed are gone
    And a key that was written after it stays

  Scenario: Of keys that are gone no more is kept than is handed on
    When 10000 keys are written and removed, one after the other
    Then at most 5000 are remembered
    And an old reading brings none of them back
