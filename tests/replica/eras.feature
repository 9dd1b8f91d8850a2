Feature: Replicas of a store that comes back from copies
  The store is a model: a restore takes back what was written after a copy. The operator and the
  backends write again what they wrote.

  Scenario: Nothing goes backwards in any replica, whatever is restored, read and exchanged
    When a store is written, copied and restored at random, and replicas read it and each other
    Then no replica takes back a configuration, a target version or the leaving of a backend
    And all replicas equal the store once everything was written again and read

  Scenario: No replica ends an evacuation by itself, whatever is restored, read and exchanged
    # Guards against a copy, or a peer with another one, ending an evacuation.
    When zones are evacuated, and the store is copied and restored at random
    Then no replica takes back an evacuation that was not ended
    And all replicas equal the store once everything was written again and read

  Scenario: A process that still speaks of the era before changes nothing
    Given a replica of a restored store
    When a process that missed the restore sends it its changes
    Then its entries and its position are as before

  Scenario: A process that was suspended during the restore takes the new era from a peer
    Given a replica of a restored store
    When a process that missed the restore fetches the changes of that replica
    Then both replicas are equal
    And what the store has lost is kept by both

  Scenario: A process of an older version, which tells no era, is understood
    Given a replica of a store that counts eras
    When a process of an older version sends it a newer change
    Then the change is applied

  Scenario: A process of an older version gets the changes after its revision
    Given a replica of a store that counts eras
    When a process of an older version asks for the changes after its revision
    Then it gets only what is newer

  Scenario: A peer in another era does not confirm that a replica is current
    Given two entry processes of which one has read a restored store
    When they receive each other's broadcasts
    Then neither counts the other's replica as a confirmation of its own
    And the one in the earlier era fetches from the other, and not the reverse

  Scenario: A process fetches once what a peer keeps from before the restore
    Given a process and a peer that keeps more from before the restore
    When the peer's broadcast arrives twice
    Then the process fetches once and keeps the same

  Scenario: What is kept of registrations ends after 6 s, also in a process that started later
    Given a replica of a restored store
    And a process that started later and has merged what that replica keeps
    Then both take the backend for gone 5.9 s after the restore
    And both take the store's word for it 6.1 s after the restore
