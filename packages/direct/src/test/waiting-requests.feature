Feature: requests that wait before they are relayed
  Guards against callers whose connections are reset when their entry stops while it still decides whether to let them in, or where their stream began.

  Scenario Outline: a request that waits for <what> when its entry stops
    Guards against a request that runs although its caller was told that it did not.
    Given a request that waits for <what>
    When its entry stops, and the wait ends afterwards
    Then the request is refused as not run, with 0.02 s to retry
    And it is not relayed, and its usage is returned

    Examples:
      | what          |
      | usage         |
      | configuration |
      | origin        |
