Feature: A spoilt manifest of the origin does not keep a version from the engines

  # Guards against RECOVER: one spoilt answer was stored for good, and no engine ever got the version.
  Scenario Outline: The first manifest that the origin sends is spoilt
    Given the users' platform with two plain backends and two engines
    And the first manifest has <fault>
    And one entry process that is ready
    And an empty engine with its endpoint process
    Then the empty engine holds version 1 within 5 seconds
    And the engine loaded only valid chunks of version 1
    And the store has the right digests of version 1, written once

    Examples: faults
      | fault                       |
      | a digest with a wrong digit |
      | no last digest              |
      | a digest too many           |
      | the same digest twice       |
      | digests in upper case       |
      | the number of version 2     |
      | no end                      |

  # Guards against wrong digests that an earlier process has stored and that restarts find again.
  Scenario Outline: The stored digests do not match the origin's chunks
    Given the users' platform with two plain backends and two engines
    And the store has digests of version 1 like a manifest with <fault>
    And two entry processes that are ready
    And an empty engine with its endpoint process
    Then the empty engine holds version 1 within 5 seconds
    And the engine loaded only valid chunks of version 1
    And the store has the right digests of version 1, written once

    Examples: faults
      | fault                       |
      | a digest with a wrong digit |
      | no last digest              |
      | a digest too many           |
      | the same digest twice       |

  # Guards against wrong digests that return with a copy of the store.
  Scenario: The store comes back from a copy with the wrong digests
    Given the users' platform with two plain backends and two engines
    And the store has digests of version 1 like a manifest with a digest with a wrong digit
    And a copy of the store
    And two entry processes that are ready
    And an empty engine with its endpoint process
    Then the store has the right digests of version 1, written once
    When the store comes back from the copy
    Then the store gets the right digests of version 1 again
