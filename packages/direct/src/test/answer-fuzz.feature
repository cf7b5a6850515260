Feature: answers of any bytes

  Scenario: random sequences of parts of answers
    Guards against an answer that looks complete although it is not, and against an exchange that ends twice or keeps its connection.
    Then 400 random sequences of parts of answers each end once at most, are complete only if a naive reader says so, and leave no connection in use
