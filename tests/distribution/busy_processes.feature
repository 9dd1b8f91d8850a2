Feature: A process that is late with an answer is not taken for one that cannot be reached

  # Guards against RECOVER too late: endpoint processes turned to entry processes of other regions, which had to begin anew.
  Scenario: An entry process answers some questions for chunks, and is late with the others
    When an endpoint process asks an entry process that answers every second question in time
    Then its next questions go to the same entry process

  Scenario: An entry process answers no question in time
    When an endpoint process asks an entry process that answers no question in time
    Then its next questions go to another entry process

  Scenario: A reader answers some questions for chunks, and is late with the others
    When an entry process asks a reader that answers every second question in time
    Then the reader counts as working

  Scenario: A reader answers no question in time
    When an entry process asks a reader that answers no question in time
    Then the reader does not count as working

  Scenario: A process counts as failed only if it has answered nothing lately
    When a process answers and is late in any order
    Then it is passed over after a late answer only if it has answered nothing for 1.5 s
    And nothing is kept of a process that has not answered or failed for 2 s
