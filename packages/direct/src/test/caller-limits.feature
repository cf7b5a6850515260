Feature: limits on what callers send

  Scenario: headers that are larger than the configuration allows
    Guards against a configured limit that has no effect, and against one that applies only to connections opened later.
    Given an entry's server for callers, and a connection to it
    When headers of 4000 bytes are allowed from then on
    Then a request with headers of 3000 bytes is handled on that connection
    When headers of 40000 bytes are allowed from then on
    Then a request with headers of 30000 bytes is handled on that connection
    When headers of 20000 bytes are allowed from then on
    Then a request with headers of 30000 bytes gets status 431 on that connection, and is not handled

  Scenario Outline: bodies that together need more memory than there is, framed by their <framing>
    Guards against an entry that ends with all its requests because large bodies take its memory, and against a refusal that its caller can't
    read since the connection is reset.
    Given an entry's server for callers, and a connection to it
    When 2 callers send a part of their bodies, which together take the memory, and a third caller does, framed by its "<framing>"
    Then the third one gets status 503 with a time to retry, and its connection can be used once it has sent the rest
    And the bodies of the first two are handled, and a further one after them

    Examples:
      | framing |
      | length  |
      | chunks  |

  Scenario: a refused body whose connection is to be closed
    Guards against a refusal that its caller can't read, since the connection is reset while the caller sends the rest of its body.
    Given an entry's server for callers, and a connection to it
    When a caller whose connection is to be closed sends a part of a body that has no room
    Then it gets status 503, and its connection is closed once it has sent the rest
