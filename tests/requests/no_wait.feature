Feature: First attempts that may be refused where they would wait

  # Guards against requests that give up their place on a retry that others have taken meanwhile.
  Scenario: Requests that came first are not refused for those that came later
    Given 2 endpoints with 2 slots and 8 places, and 6 retries
    When 20 requests come at once, and 16 more 5 ms later, with 1.5 s each
    Then the first are all served

  Scenario: A retry that was taken in advance and is not needed is given back
    Given 2 endpoints with 2 slots and 8 places, and 6 retries
    When 4 requests come at once, and 0 more 0 ms later, with 1.5 s each
    Then the first are all served
    And 6 retries are left
