Feature: Replica of the key-value store

  Scenario: No key returns to an older value, whatever the source and the order
    When changes of the store arrive in any order, late, twice and in part
    Then each key has its newest received value

  Scenario: Two processes that exchange their changes have equal replicas
    When two processes receive different parts and send their changes to each other
    Then both replicas include every change up to the higher revision

  Scenario: A snapshot deletes the keys that it lacks, but none that changed after it
    When a snapshot arrives late
    Then keys that it lacks are deleted
    And a key that was written after it stays

  Scenario: The number of tombstones kept is bounded by the change log
    When 10000 keys are written and deleted, one after the other
    Then at most 5000 tombstones are kept
    And an older snapshot restores none of the keys

  Scenario: A watch that is restarted for changes from a peer is no answer from the store
    Given a follower whose store has stopped answering
    When its watch is restarted for changes from a peer
    Then it does not count as an answer from the store

  Scenario: The assumed time of a change is never later than its acknowledgement, however it arrives
    When changes reach processes by watches and from each other, with any delays
    Then no change is assumed to be younger than it is, and no replica to be more current

  Scenario: A store that has compacted its history is not taken for lost
    Given a follower whose store has compacted its history
    When the follower watches
    Then it reads a snapshot next and has not lost the store

  Scenario: A change from a process of an older version, which sends no ages, is not taken to be ancient
    Given a replica that was last complete 600 s ago
    When a process of an older version sends it a change
    Then the change is taken to be at most 4 s old
