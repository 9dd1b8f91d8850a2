Feature: Evacuation of an availability zone, on the stand-in of the users' platform
  Plain backends are in zone-a only, one engine is in each zone.

  Background:
    Given the users' platform with two plain backends and two engines

  Scenario: Within a second no process sends to the zone, also one that cannot reach the store
    # Guards against processes that only the store can tell, and against streams that are cut off.
    Given two entry processes that are ready
    And the engine in zone-a is slow and runs a stream of each process
    When the second process cannot reach the store
    And the operator evacuates zone-a
    Then after 1 s no process sends anything to zone-a for 1 s
    And both refuse look-ups at once for "no-backend"
    And the running streams are whole
    When the operator ends the evacuation of zone-a
    Then look-ups are answered at both processes within 1 s

  Scenario: A process that starts during an evacuation sends nothing to the zone
    Given one entry process that is ready
    When the operator evacuates zone-a
    And another entry process starts
    Then after 0 s no process sends anything to zone-a for 0.5 s

  Scenario: A zone stays evacuated during an outage of the store
    # Guards against backends that lapse and return in the outage being used again.
    Given two entry processes that are ready
    When the operator evacuates zone-a
    And the store goes down for 2 s
    Then after 0 s no process sends anything to zone-a for 0.5 s

  Scenario: A zone stays evacuated after a restore of the store from an older copy
    # Guards against the copy, and a process that starts from it, ending the evacuation.
    Given two entry processes that are ready
    And a copy of the store
    When the operator evacuates zone-a
    And the store comes back from the copy
    And another entry process starts
    Then after 1 s no process sends anything to zone-a for 1 s
    When the operator evacuates zone-a
    And the operator ends the evacuation of zone-a
    Then look-ups are answered at both processes within 1 s
