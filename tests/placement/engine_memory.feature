Feature: Requests are placed where their tokens fit into the engine's memory
  The modules run without a network. A usual prompt has 977 tokens, a usual answer 94.

  Scenario Outline: A request of <prompt> tokens at engines of <tokens>, <running> others at one: <room>
    Guards against requests that crash an engine, and against engines that are left unused.
    Given two engines that hold <tokens> tokens, and a report of <running> requests at the first
    When a request with a prompt of <prompt> and an answer of 100 tokens is placed
    Then the engines with room for it are "<room>"

    Examples:
      | tokens | running | prompt | room    |
      | 12000  | 8       | 900    | e-0 e-1 |
      | 12000  | 9       | 1500   | e-1     |
      | 12000  | 0       | 11900  | e-0 e-1 |
      | 12000  | 0       | 11901  | none    |
      | 0      | 9       | 90000  | e-0 e-1 |

  Scenario: The tokens of own requests count until they end
    Guards against requests of one process that together exceed the memory.
    Given two engines that hold 3000 tokens, and a report of 0 requests at the first
    When as many requests with 900 and 100 tokens as fit are in flight
    Then 2 are in flight at each, and a further one is refused until they have ended

  Scenario Outline: A declared capacity of <value> is <read>
    Guards against a malformed declaration that is taken for no limit.
    Then a configuration with a capacity of <value> is read as <read>

    Examples: declared
      | value  | read      |
      | 24000  | 24000     |
      | null   | 0         |
      | -1     | malformed |
      | "many" | malformed |
      | true   | malformed |
