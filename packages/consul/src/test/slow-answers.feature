Feature: answers of the key-value service that arrive slowly

  Scenario: a configuration that takes longer to arrive than the time limit of a call
    Guards against an entry that never starts: its configuration arrives steadily, and is discarded and read again from its beginning.
    Given a key-value service that sends a value in 10 parts, 100 ms apart
    When a client with a time limit of 500 ms reads the value
    Then it receives the whole value

  Scenario: an answer that stops arriving
    Guards against an entry that waits for good on a connection that has become silent within an answer.
    Given a key-value service that stops after 3 of 10 parts
    When a client with a time limit of 500 ms reads the value
    Then the read fails within 1500 ms
