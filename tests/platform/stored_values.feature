Feature: Odd values of other writers in the proxied mode

  # Guards against one odd value in the key-value service that ends a task, or an apply, with an exception.
  Scenario Outline: A configuration that is <odd> is a typed error, and its history costs only itself
    Given an empty key-value service
    When the head and an entry of the history are <odd>
    Then reading the head fails with a message, and a process that is offered it keeps its own
    And a change is accepted once the head is sound again

    Examples:
      | odd                |
      | nested 5000 deep   |
      | not JSON           |
      | not UTF-8          |
      | of another type    |

  Scenario Outline: A slot table that is <odd> changes nothing, and its holders go on
    Given three processes that hold the slots
    When their slot table is <odd> for 4 s
    Then no task of them has ended, and the holder of a key runs it

    Examples:
      | odd                |
      | nested 5000 deep   |
      | not JSON           |
      | not UTF-8          |
      | of another type    |
      | cut short          |
      | without its fields |

  Scenario Outline: A claim that is <odd> is that of another process
    Given three processes that hold the slots
    When the claim of a key and the renewal of its holder are <odd>, and the holder is asked to run it
    Then it is answered may-have-run and has not run
    And no task of them has ended, also after the holder has crashed

    Examples:
      | odd                |
      | nested 5000 deep   |
      | not JSON           |
      | not UTF-8          |
      | of another type    |
