Feature: Stand-in for the key-value store of the users' platform

  Scenario: A lease is not granted under the id of one that another process holds
    Given a store that has granted two leases
    When the first lease ends and another is granted
    Then its id is not that of the second

  Scenario: A transaction that names an unknown lease changes nothing
    Given a store that has granted two leases
    When a transaction writes one key without a lease and one under an unknown lease
    Then it is rejected with 404 and the store holds neither key

  Scenario: Many keys that end by themselves take one lease
    Guards against evidence of crashes that costs two calls a key after a loss of many backends.
    Given a store that has granted two leases
    When one client writes 10 keys that last 60 s
    Then the store got 11 calls for them
    When the store forgets all leases, the client writes another key within two tries
