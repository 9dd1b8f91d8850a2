Feature: Requests are placed where their tokens fit into the engine's memory
  Engines crash if the tokens that they hold exceed their capacity. The modules run without a
  network. A usual prompt has 977 tokens, a usual answer 94.

  Scenario Outline: A request of <prompt> and <answer> tokens beside <running> others: <outcome>
    Guards against requests that crash an engine, and against engines that are left unused.
    Given two engines that hold 12000 tokens each, of which another process reports <running> requests at the first
    When a request with a prompt of <prompt> and an answer of <answer> tokens is placed
    Then the engines with room for it are: <outcome>

    Examples:
      | running | prompt | answer | outcome    |
      | 0       | 900    | 100    | either one |
      | 8       | 900    | 100    | either one |
      | 9       | 1500   | 100    | the second |
      | 12      | 900    | 100    | the second |
      | 0       | 11900  | 100    | either one |
      | 0       | 11901  | 100    | none: 413  |

  Scenario: The tokens of own requests count until they end
    Guards against requests of one process that together exceed the memory.
    Given two engines that hold 3000 tokens each
    When as many requests with 900 and 100 tokens as fit are in flight
    Then 2 are in flight at each, and a further one is refused with "engine-memory" and a Retry-After
    When the requests in flight end
    Then a further one is admitted

  Scenario: Engines without a declared capacity take all requests
    Guards against a change for services that declare no memory.
    Given two engines that hold 0 tokens each
    When a request with a prompt of 900000 and an answer of 100 tokens is placed
    Then the engines with room for it are: either one

  Scenario Outline: A declared capacity of <value> is <read>
    Guards against a malformed declaration that is taken for no limit.
    When a configuration declares engines with a capacity of <value>
    Then the capacity is <read>

    Examples: declared
      | value  | read      |
      | 24000  | 24000     |
      | null   | 0         |
      | 0      | 0         |
      | -1     | malformed |
      | "many" | malformed |
      | true   | malformed |
