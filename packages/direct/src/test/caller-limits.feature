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
